#include "base/compress.h"

#include <gio/gio.h>

#define CHUNK_BYTES 16384
/* Nine tenths of the compression of the highest level at a third of its time. */
#define LEVEL 5

/* Converts all of the input.
 * @return FALSE with @p error set if it is invalid or its output exceeds @p max_bytes. */
static gboolean
convert (GConverter *converter,
         const char *bytes,
         gsize size_bytes,
         gsize max_bytes,
         GByteArray *out,
         GError **error)
{
  char chunk[CHUNK_BYTES];
  gsize n_read = 0;
  gsize n_written = 0;
  for (;;)
    {
      GConverterResult result
          = g_converter_convert (converter, bytes, size_bytes, chunk, sizeof chunk,
                                 G_CONVERTER_INPUT_AT_END, &n_read, &n_written, error);
      if (result == G_CONVERTER_ERROR)
        return FALSE;
      bytes += n_read;
      size_bytes -= n_read;
      g_byte_array_append (out, (const guint8 *) chunk, (guint) n_written);
      if (out->len > max_bytes)
        {
          g_set_error_literal (error, G_IO_ERROR, G_IO_ERROR_NO_SPACE, "the content is too large");
          return FALSE;
        }
      if (result == G_CONVERTER_FINISHED)
        return TRUE;
    }
}

GByteArray *
gg_compress (const void *bytes, gsize size_bytes)
{
  GZlibCompressor *compressor = g_zlib_compressor_new (G_ZLIB_COMPRESSOR_FORMAT_GZIP, LEVEL);
  GByteArray *out = g_byte_array_new ();
  gboolean is_done = convert (G_CONVERTER (compressor), bytes, size_bytes, G_MAXSIZE, out, NULL);
  g_assert (is_done);
  g_object_unref (compressor);
  return out;
}

GByteArray *
gg_decompress (const void *bytes, gsize size_bytes, gsize max_bytes, GError **error)
{
  GZlibDecompressor *decompressor = g_zlib_decompressor_new (G_ZLIB_COMPRESSOR_FORMAT_GZIP);
  GByteArray *out = g_byte_array_new ();
  if (!convert (G_CONVERTER (decompressor), bytes, size_bytes, max_bytes, out, error))
    {
      g_byte_array_unref (out);
      out = NULL;
    }
  g_object_unref (decompressor);
  return out;
}
