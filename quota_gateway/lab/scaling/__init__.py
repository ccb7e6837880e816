"""What the real code costs against the sizes it meets, and the capacity page worked out from it."""
