"""HTTP handlers of the generation paths."""

import asyncio

from balsamlug import exceptions
from balsamlug.config import schema
from balsamlug.router import attempt
from balsamlug.router import delivery as deliveries
from balsamlug.router import handlers
from balsamlug.router import relay
from balsamlug.router import requests
from balsamlug.router import scheduler as schedulers
from balsamlug.router import sse

# Time for a slow caller to read the buffered data and the error event after it.
SLOW_CLOSE_S = 5.0


class CompletionsHandler(handlers.CallerHandler):
    """Handler of POST /v1/completions."""

    kind = "completions"
    chat = False
    _generation: relay.Generation | None = None
    _delivery: (
        deliveries.StreamDelivery | deliveries.BufferedDelivery | None
    ) = None

    async def serve(self, body: bytes, *args: str) -> None:
        """Run the generation and deliver its answer."""
        del args
        customer = self.authenticate()
        req = requests.parse(body, self.chat)
        work, deployment = self._work(req, customer)
        form = deliveries.AnswerFormat(self.request_id, req.model, self.chat)
        self._delivery = self._new_delivery(req, form)
        payload = req.parameters | {
            "model": deployment.model,
            "prompt": req.prompt,
            "max_tokens": req.max_tokens,
        }
        generation = relay.Generation(
            work, payload, self.task_id, self.runtime, self._delivery
        )
        self._generation = generation
        self.runtime.generations[self.request_id] = generation
        try:
            await generation.run()
            self._generation = None
            await self._finish(req, form, generation.delivered)
        finally:
            del self.runtime.generations[self.request_id]
            self._delivery.close()
            self.log_fields = {
                "deployment": deployment.name,
                "attempts": generation.history,
                "tokens": generation.delivered,
            }

    def on_connection_close(self) -> None:
        """Stop the generation when its caller has disconnected."""
        super().on_connection_close()
        if self._generation is not None and self._delivery is not None:
            gone = relay.CallerGone()
            self._generation.stop(gone, attempt.Outcome.CALLER_GONE)
            self._delivery.close()

    def answer_refusal(self, refusal: exceptions.Refusal) -> None:
        """End a started stream with an error event."""
        if self._headers_written:
            self._end_stream(refusal)
            return
        super().answer_refusal(refusal)

    def _end_stream(self, refusal: exceptions.Refusal) -> None:
        if self._finished:
            return
        stream = self.request.connection.stream
        self.finish(sse.error_event(refusal))
        if isinstance(refusal, exceptions.SlowCaller):
            loop = asyncio.get_running_loop()
            loop.call_later(SLOW_CLOSE_S, stream.close)

    def _work(
        self, req: requests.GenerationRequest, customer: schema.Customer
    ) -> tuple[schedulers.Work, schema.Deployment]:
        settings = self.runtime.settings
        deployment = requests.deployment(req.model, customer, settings)
        headers = self.request.headers
        terms = requests.terms(
            headers.get("X-Role"),
            headers.get("X-Deadline-Ms"),
            customer,
            settings,
        )
        work = schedulers.Work(
            id=self.request_id,
            customer=customer.name,
            deployment=deployment.name,
            priority=terms.priority,
            weight=customer.weight,
            deadline_s=requests.deadline_s(terms, self.runtime.clock),
            prompt_tokens=req.prompt_tokens(),
            max_tokens=req.max_tokens,
            fingerprint=req.fingerprint(),
            prefix_hash=req.prefix_hash(),
        )
        return work, deployment

    def _new_delivery(
        self, req: requests.GenerationRequest, form: deliveries.AnswerFormat
    ) -> deliveries.StreamDelivery | deliveries.BufferedDelivery:
        if not req.stream:
            return deliveries.BufferedDelivery()
        limit = self.runtime.settings.limits.stream_buffer_kb * handlers.KB
        return deliveries.StreamDelivery(self, form, limit, self.runtime.clock)

    async def _finish(
        self,
        req: requests.GenerationRequest,
        form: deliveries.AnswerFormat,
        tokens: int,
    ) -> None:
        finish = "length" if tokens >= req.max_tokens else "stop"
        if isinstance(self._delivery, deliveries.StreamDelivery):
            await self._delivery.end(finish)
            await self.finish_in_time(None)
            return
        usage = {
            "prompt_tokens": req.prompt_tokens(),
            "completion_tokens": tokens,
            "total_tokens": req.prompt_tokens() + tokens,
        }
        text = "".join(self._delivery.texts)
        await self.finish_in_time(form.complete_body(text, finish, usage))


class ChatHandler(CompletionsHandler):
    """Handler of POST /v1/chat/completions."""

    kind = "chat"
    chat = True
