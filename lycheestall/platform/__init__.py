"""The adapter: decodes what the platform sends into the product's types."""
