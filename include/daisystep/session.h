#ifndef DAISYSTEP_SESSION_H
#define DAISYSTEP_SESSION_H

#include "daisystep/str.h"

#include <stdint.h>

/* Size of the text of a session, with its terminating null byte.  */
#define DS_SESSION_TEXT_BYTES 40

/* The sessions that one host incarnation has issued.  A request id of a
   session is "SESSION.NUMBER"; only the host that issued the session runs it.
 */
struct ds_sessions;

enum ds_session_check
{
  /* Issued here and open for new requests.  */
  DS_SESSION_OPEN,
  /* Issued here; new requests are rejected, known ones can be queried.  */
  DS_SESSION_EXPIRED,
  /* Issued by another incarnation, which is returned.  */
  DS_SESSION_OTHER_INCARNATION,
  DS_SESSION_MALFORMED
};

int ds_sessions_new (struct ds_sessions **out, TALLOC_CTX *owner,
                     uint64_t incarnation, uint64_t lifetime_ms);
void ds_sessions_free (struct ds_sessions *sessions);
int ds_sessions_issue (struct ds_sessions *sessions, uint64_t now_ms,
                       char out[DS_SESSION_TEXT_BYTES]);
uint64_t ds_sessions_lowest_open (const struct ds_sessions *sessions,
                                  uint64_t now_ms);
int ds_session_parse (struct ds_str request_text, uint64_t *incarnation,
                      uint64_t *number);
enum ds_session_check ds_sessions_check (const struct ds_sessions *sessions,
                                         struct ds_str request_text,
                                         uint64_t now_ms,
                                         uint64_t *incarnation);

#endif
