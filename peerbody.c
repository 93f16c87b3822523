/* Bodies of messages between VMs, to bytes and back. */
#include "peers.h"

GByteArray *
peers_encode (xdrproc_t proc, const void *value)
{
  unsigned long size = xdr_sizeof (proc, (void *)value);
  GByteArray *out = g_byte_array_sized_new ((guint)size);
  XDR x;

  g_byte_array_set_size (out, (guint)size);
  xdrmem_create (&x, (char *)out->data, (u_int)size, XDR_ENCODE);
  if (proc (&x, (void *)value))
    return out;
  g_byte_array_free (out, TRUE);
  return NULL;
}

bool
peers_decode (xdrproc_t proc, const char *data, size_t len, void *value)
{
  XDR x;

  xdrmem_create (&x, (char *)data, (u_int)len, XDR_DECODE);
  if (proc (&x, value))
    return true;
  xdr_free (proc, value);
  return false;
}
