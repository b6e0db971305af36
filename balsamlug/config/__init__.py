"""Options, settings and the revisions of the accepted configuration."""
