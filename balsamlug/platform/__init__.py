"""Translation between the users' platform and the types of this product.

Nothing outside this package knows the names on the platform's wire, and
nothing inside it decides anything.
"""
