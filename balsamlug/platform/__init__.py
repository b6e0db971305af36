"""Translation between the operator's platform and the types of this product.

Only this package knows the names on the platform's wire. It makes no
decisions.
"""
