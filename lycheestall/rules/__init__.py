"""Rule files: their text, what they say, and how they come into force."""
