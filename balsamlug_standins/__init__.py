"""Stand-ins for the platform, engines and services that tests run against."""
