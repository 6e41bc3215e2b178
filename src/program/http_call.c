#include "program/http_call.h"

#include <curl/curl.h>
#include <string.h>

/* Holds the list of all workspaces at the target size, 43,000 objects, several
   times; bounds the memory that a faulty server can use.  */
#define RESPONSE_BYTES_MAX ((size_t)256 << 20)
#define RESPONSE_BYTES_INITIAL 4096

struct body_buffer
{
  char *data;
  size_t length;
};

static size_t
append_body (char *data, size_t size, size_t count, void *context)
{
  struct body_buffer *buffer = context;
  size_t bytes = size * count;
  size_t needed = buffer->length + bytes + 1;

  if (needed > RESPONSE_BYTES_MAX)
    return 0;
  if (needed > talloc_get_size (buffer->data))
    {
      char *new_data = talloc_realloc_size (NULL, buffer->data, 2 * needed);

      if (new_data == NULL)
        return 0;
      buffer->data = new_data;
    }
  memcpy (buffer->data + buffer->length, data, bytes);
  buffer->length += bytes;
  buffer->data[buffer->length] = '\0';
  return bytes;
}

/* True if a call that failed with RESULT may have been sent in part.  */
static bool
may_have_sent (CURL *curl, CURLcode result)
{
  curl_off_t pretransfer_us = 0;

  if (result == CURLE_COULDNT_CONNECT || result == CURLE_COULDNT_RESOLVE_HOST
      || result == CURLE_URL_MALFORMAT || result == CURLE_UNSUPPORTED_PROTOCOL)
    return false;
  (void)curl_easy_getinfo (curl, CURLINFO_PRETRANSFER_TIME_T, &pretransfer_us);
  return pretransfer_us > 0;
}

static CURL *
create_handle (const struct ds_http_call_request *request,
               struct body_buffer *buffer, struct curl_slist *headers)
{
  CURL *curl = curl_easy_init ();

  if (curl == NULL)
    return NULL;
  (void)curl_easy_setopt (curl, CURLOPT_URL, request->url);
  (void)curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, request->method);
  (void)curl_easy_setopt (curl, CURLOPT_PATH_AS_IS, 1L);
  (void)curl_easy_setopt (curl, CURLOPT_PROTOCOLS_STR, "http,https");
  /* Servers are called directly by IP address; ignore http_proxy.  */
  (void)curl_easy_setopt (curl, CURLOPT_PROXY, "");
  (void)curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  (void)curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
  (void)curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  (void)curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_body);
  (void)curl_easy_setopt (curl, CURLOPT_WRITEDATA, buffer);
  if (request->body.data != NULL)
    {
      (void)curl_easy_setopt (curl, CURLOPT_POSTFIELDS, request->body.data);
      (void)curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE,
                              (curl_off_t)request->body.length);
    }
  return curl;
}

/* Makes one HTTP call and blocks until its response, owned by OWNER, is
   complete.  Any HTTP status is a success here.  Returns DS_EUNAVAILABLE if no
   byte of the request was sent and DS_EUNKNOWN if the call failed later.  */
int
ds_http_call (struct ds_http_call_response *out, TALLOC_CTX *owner,
              const struct ds_http_call_request *request,
              struct ds_error *error)
{
  struct body_buffer buffer
      = { .data = talloc_zero_size (NULL, RESPONSE_BYTES_INITIAL) };
  struct curl_slist *headers = NULL;
  CURL *curl;
  CURLcode result;
  int status = DS_ENOMEM;

  for (size_t i = 0; request->headers != NULL && request->headers[i] != NULL;
       i++)
    headers = curl_slist_append (headers, request->headers[i]);
  curl = create_handle (request, &buffer, headers);
  if (curl == NULL || buffer.data == NULL)
    {
      (void)ds_error_set (error, DS_ENOMEM, "http call", request->url,
                          "out of memory");
      goto done;
    }
  result = curl_easy_perform (curl);
  if (result != CURLE_OK)
    {
      status = may_have_sent (curl, result) ? DS_EUNKNOWN : DS_EUNAVAILABLE;
      (void)ds_error_set (error, status, "http call", request->url, "%s",
                          curl_easy_strerror (result));
      goto done;
    }
  (void)curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &out->status);
  out->body.data = talloc_steal (owner, buffer.data);
  out->body.length = buffer.length;
  buffer.data = NULL;
  status = 0;

done:
  curl_easy_cleanup (curl);
  curl_slist_free_all (headers);
  talloc_free (buffer.data);
  return status;
}
