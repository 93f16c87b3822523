/*
 * ONC RPC between VMs, through libtirpc.
 *
 * One thread answers.  It polls svc_pollfd and never svc_fdset, which breaks
 * past descriptor 1023.  libtirpc's clients block, so a few threads ask, each
 * with connections of its own, and hand replies to the asker's loop.
 */
#include "peers.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ASKERS 4
#define CONNECT_MS 500
#define REPLY_S 1
#define POLL_MS 100
#define QUESTIONS_MAX 1024 /* waiting; more are answered as lost */

/* A question on its way. */
struct question
{
  char address[64];    /* whom */
  char receiver[64];   /* name of the VM there */
  peer_proc proc;      /* kind */
  GByteArray *body;    /* encoded */
  struct loop *home;   /* where done runs */
  struct loop_msg msg; /* takes it there */
  peers_done done;     /* whom to tell */
  void *arg;           /* passed to done */
  bool answered;       /* reply is valid */
  peer_envelope reply; /* what came back */
};

struct peers
{
  struct peers_opts opts;  /* how it was made */
  struct seal *seal;       /* keys */
  char address[64];        /* where it listens */
  int fd;                  /* listening socket */
  GThread *server;         /* answers */
  GThread *askers[ASKERS]; /* ask */
  GAsyncQueue *questions;  /* to be asked */
  int stopping;            /* atomic */
  GMutex lock;             /* guards cut */
  char *cut;               /* prefix of names that are cut off, or NULL */
};

/* libtirpc's dispatch has no context pointer, and a process is one VM. */
static struct peers *serving;

G_DEFINE_QUARK (peers - error - quark, peers_error)

/* --- cuts, for tests of partitions --- */

void
peers_cut (struct peers *p, const char *prefix)
{
  g_mutex_lock (&p->lock);
  g_free (p->cut);
  p->cut = prefix[0] != '\0' ? g_strdup (prefix) : NULL;
  g_mutex_unlock (&p->lock);
}

static bool
is_cut (struct peers *p, const char *name)
{
  bool cut;

  g_mutex_lock (&p->lock);
  cut = p->cut != NULL && g_str_has_prefix (name, p->cut);
  g_mutex_unlock (&p->lock);
  return cut;
}

/* --- server --- */

static int64_t
wall_ms (void)
{
  return g_get_real_time () / 1000;
}

static bool
answer (struct peers *p, const peer_sealed *in, peer_sealed *out)
{
  peer_envelope call, reply = { 0 };
  bool done = false;

  if (!seal_open (p->seal, in, NULL, wall_ms (), &call))
    return false;
  if (!is_cut (p, call.sender) && p->opts.answer (p->opts.arg, &call, &reply))
    {
      reply.sender = (char *)p->opts.name;
      reply.receiver = call.sender;
      reply.sent_ms = (u_quad_t)wall_ms ();
      reply.proc = call.proc;
      done = seal_close (p->seal, &reply, in->nonce, out);
      free (reply.body.body_val);
    }
  xdr_free ((xdrproc_t)xdr_peer_envelope, &call);
  return done;
}

static void
dispatch (struct svc_req *req, SVCXPRT *xprt)
{
  peer_sealed in = { 0 };
  peer_sealed out = { 0 };

  if (req->rq_proc == NULLPROC)
    {
      svc_sendreply (xprt, (xdrproc_t)(void *)xdr_void, NULL);
      return;
    }
  if (req->rq_proc != CQ_PEER_CALL)
    {
      svcerr_noproc (xprt);
      return;
    }
  if (!svc_getargs (xprt, (xdrproc_t)xdr_peer_sealed, (char *)&in))
    {
      svcerr_decode (xprt);
      return;
    }
  if (answer (serving, &in, &out))
    svc_sendreply (xprt, (xdrproc_t)xdr_peer_sealed, (char *)&out);
  else
    svcerr_weakauth (xprt);
  free (out.box.box_val);
  svc_freeargs (xprt, (xdrproc_t)xdr_peer_sealed, (char *)&in);
}

static void *
run_server (void *arg)
{
  struct peers *p = arg;
  struct pollfd *fds;
  int n;

  while (!g_atomic_int_get (&p->stopping))
    {
      n = svc_max_pollfd;
      fds = g_memdup2 (svc_pollfd, (gsize)n * sizeof *fds);
      n = poll (fds, (nfds_t)n, POLL_MS);
      if (n > 0)
        svc_getreq_poll (fds, n);
      g_free (fds);
    }
  return NULL;
}

static bool
split (const char *address, struct sockaddr_in *sa)
{
  const char *colon = strrchr (address, ':');
  g_autofree char *host = NULL;

  memset (sa, 0, sizeof *sa);
  if (colon == NULL)
    return false;
  host = g_strndup (address, (gsize)(colon - address));
  sa->sin_family = AF_INET;
  sa->sin_port = htons ((uint16_t)g_ascii_strtoull (colon + 1, NULL, 10));
  return inet_pton (AF_INET, host, &sa->sin_addr) == 1;
}

static bool
start_listening (struct peers *p)
{
  struct sockaddr_in sa;
  socklen_t len = sizeof sa;
  char host[INET_ADDRSTRLEN];
  SVCXPRT *xprt;
  int one = 1;

  if (!split (p->opts.listen, &sa))
    return false;
  p->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (p->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (p->fd, (struct sockaddr *)&sa, sizeof sa) != 0
      || listen (p->fd, 128) != 0
      || getsockname (p->fd, (struct sockaddr *)&sa, &len) != 0)
    return false;
  inet_ntop (AF_INET, &sa.sin_addr, host, sizeof host);
  g_snprintf (p->address, sizeof p->address, "%s:%d", host,
              ntohs (sa.sin_port));
  xprt = svc_vc_create (p->fd, 0, 0);
  /* Without a netconfig no port mapper is told. */
  return xprt != NULL && svc_reg (xprt, CQ_PEER, CQ_PEER_V1, dispatch, NULL);
}

/* --- clients --- */

static int
connect_to (const char *address)
{
  struct sockaddr_in sa;
  struct pollfd pfd = { .events = POLLOUT };
  socklen_t len = sizeof (int);
  int error = 0;
  int one = 1;
  int fd;

  if (!split (address, &sa))
    return -1;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  pfd.fd = fd;
  if (connect (fd, (struct sockaddr *)&sa, sizeof sa) != 0
      && (errno != EINPROGRESS || poll (&pfd, 1, CONNECT_MS) != 1
          || getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0
          || error != 0))
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

static CLIENT *
make_client (const char *address)
{
  struct sockaddr_in sa;
  struct netbuf where = { sizeof sa, sizeof sa, &sa };
  int fd = connect_to (address);
  CLIENT *c;

  if (fd < 0 || !split (address, &sa))
    return NULL;
  c = clnt_vc_create (fd, &where, CQ_PEER, CQ_PEER_V1, 0, 0);
  if (c == NULL)
    close (fd);
  else
    clnt_control (c, CLSET_FD_CLOSE, NULL);
  return c;
}

static bool
call_once (struct peers *p, CLIENT *c, struct question *q)
{
  struct timeval limit = { .tv_sec = REPLY_S };
  peer_envelope e = { 0 };
  peer_sealed in = { 0 };
  peer_sealed out = { 0 };
  bool good;

  e.sender = (char *)p->opts.name;
  e.receiver = q->receiver;
  e.sent_ms = (u_quad_t)wall_ms ();
  e.proc = q->proc;
  e.body.body_len = q->body->len;
  e.body.body_val = (char *)q->body->data;
  if (!seal_close (p->seal, &e, NULL, &out))
    return false;
  good = clnt_call (c, CQ_PEER_CALL, (xdrproc_t)xdr_peer_sealed, (caddr_t)&out,
                    (xdrproc_t)xdr_peer_sealed, (caddr_t)&in, limit)
         == RPC_SUCCESS;
  good = good && seal_open (p->seal, &in, out.nonce, wall_ms (), &q->reply);
  xdr_free ((xdrproc_t)xdr_peer_sealed, &in);
  free (out.box.box_val);
  return good;
}

/* A kept connection may have died since: one more try on a new one.  All
   questions may be asked twice. */
static void
ask (struct peers *p, GHashTable *clients, struct question *q)
{
  CLIENT *c = g_hash_table_lookup (clients, q->address);
  int tries;

  if (is_cut (p, q->receiver))
    return;
  for (tries = 0; tries < 2 && !q->answered; tries++)
    {
      if (c == NULL)
        {
          c = make_client (q->address);
          if (c == NULL)
            return;
          g_hash_table_insert (clients, g_strdup (q->address), c);
          tries = 1;
        }
      q->answered = call_once (p, c, q);
      if (!q->answered)
        {
          g_hash_table_remove (clients, q->address);
          c = NULL;
        }
    }
}

static void
deliver (void *arg)
{
  struct question *q = arg;

  q->done (q->arg, q->answered ? &q->reply : NULL);
  if (q->answered)
    xdr_free ((xdrproc_t)xdr_peer_envelope, &q->reply);
  g_byte_array_free (q->body, TRUE);
  g_free (q);
}

static void
destroy_client (gpointer c)
{
  clnt_destroy ((CLIENT *)c);
}

static void *
run_asker (void *arg)
{
  struct peers *p = arg;
  GHashTable *clients = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                               destroy_client);
  struct question *q;

  while (!g_atomic_int_get (&p->stopping))
    {
      q = g_async_queue_timeout_pop (p->questions, 100000);
      if (q == NULL)
        continue;
      ask (p, clients, q);
      q->msg.run = deliver;
      q->msg.arg = q;
      loop_post (q->home, &q->msg);
    }
  g_hash_table_destroy (clients);
  return NULL;
}

void
peers_ask (struct peers *p, const char *address, const char *receiver,
           peer_proc proc, GByteArray *body, struct loop *home,
           peers_done done, void *arg)
{
  struct question *q = g_new0 (struct question, 1);

  g_strlcpy (q->address, address, sizeof q->address);
  g_strlcpy (q->receiver, receiver, sizeof q->receiver);
  q->proc = proc;
  q->body = body;
  q->home = home;
  q->done = done;
  q->arg = arg;
  if (g_async_queue_length (p->questions) < QUESTIONS_MAX)
    {
      g_async_queue_push (p->questions, q);
      return;
    }
  q->msg.run = deliver;
  q->msg.arg = q;
  loop_post (home, &q->msg);
}

/* --- life --- */

struct peers *
peers_new (const struct peers_opts *opts, GError **err)
{
  struct peers *p = g_new0 (struct peers, 1);
  int i;

  p->opts = *opts;
  p->seal = seal_new (opts->name, opts->keys);
  p->questions = g_async_queue_new ();
  g_mutex_init (&p->lock);
  serving = p;
  if (!start_listening (p))
    {
      g_set_error (err, PEERS_ERROR, errno, "%s: %s", opts->listen,
                   strerror (errno));
      return NULL;
    }
  p->server = g_thread_new ("peer-server", run_server, p);
  for (i = 0; i < ASKERS; i++)
    p->askers[i] = g_thread_new ("peer-asker", run_asker, p);
  return p;
}

const char *
peers_address (const struct peers *p)
{
  return p->address;
}

/* Questions whose loops have stopped are dropped with their bodies. */
void
peers_free (struct peers *p)
{
  struct question *q;
  int i;

  g_atomic_int_set (&p->stopping, 1);
  g_thread_join (p->server);
  for (i = 0; i < ASKERS; i++)
    g_thread_join (p->askers[i]);
  while ((q = g_async_queue_try_pop (p->questions)) != NULL)
    {
      g_byte_array_free (q->body, TRUE);
      g_free (q);
    }
  g_async_queue_unref (p->questions);
  svc_exit ();
  seal_free (p->seal);
  g_free (p->cut);
  g_mutex_clear (&p->lock);
  g_free (p);
}
