"""Buffer of a body that is being received."""

import contextlib
import mmap

# Bodies up to this size are kept in the heap. Larger buffers that grow beside
# each other there would leave holes that the process never returns.
HEAP_BYTES = 32 * 1024


class BodyBuffer:
    """Body in one buffer, of which only the written pages take memory.

    A buffer in memory of its own neither moves while it grows nor leaves a hole
    when it is closed.
    """

    def __init__(self) -> None:
        self._start = bytearray()
        self._pages: mmap.mmap | None = None
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def append(self, data: bytes, max_bytes: int) -> None:
        """Add a part.

        Args:
          max_bytes: length that the body does not exceed under the limits in
            force.
        """
        end = self._length + len(data)
        if end > (HEAP_BYTES if self._pages is None else len(self._pages)):
            self._move(max(max_bytes, end))
        if self._pages is None:
            self._start += data
        else:
            self._pages[self._length : end] = data
        self._length = end

    def read(self) -> bytes:
        """Return the body."""
        if self._pages is None:
            return bytes(self._start)
        return self._pages[: self._length]

    def close(self) -> None:
        """Drop the body."""
        if self._pages is not None:
            self._pages.close()
        self._pages = None
        self._start = bytearray()
        self._length = 0

    def _move(self, max_bytes: int) -> None:
        """Move the body to pages of its own, which other limits may exceed."""
        pages = mmap.mmap(
            -1, max_bytes, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
        )
        # A huge page would take memory for far more than was received. Kernels
        # without huge pages reject the advice.
        with contextlib.suppress(OSError):
            pages.madvise(mmap.MADV_NOHUGEPAGE)
        pages[: self._length] = self.read()
        length = self._length
        self.close()
        self._pages, self._length = pages, length
