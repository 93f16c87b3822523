# camphorquay: run ./configure first.
include config.mk

STD = -std=gnu11 -D_GNU_SOURCE -Wall -Wextra -Wmissing-prototypes \
	-Wstrict-prototypes -Wshadow -Werror
ALL_CFLAGS = $(STD) $(CFLAGS) $(LIB_CFLAGS) -MMD -MP

# Deciding: pure, no I/O, no locks, no clock.
DECIDE = out.o budget.o share.o routeshare.o returns.o admit.o lim.o fq.o claim.o pfx.o route.o \
	dir.o link.o plan.o keep.o memb.o stall.o fresh.o
# Reading what callers and engines send: pure.
WIRE = prompt.o strm.o
SETTINGS = cfg.o cfgval.o settings_gen.o
SERVER = log.o met.o loop.o xfer.o fetch.o endpointclient.o tableclient.o objectclient.o auth.o refusal.o \
	httpserver.o longreply.o reply.o api.o job.o joblog.o jobsched.o attempt.o jobclaim.o jobreply.o claims.o \
	history.o poll.o storeclient.o kvcache.o kvexport.o applycfg.o conf.o confpost.o member.o \
	peerrpc.o peerbody.o peerseal.o peer_xdr.o adm.o mirrorhttp.o entry.o state.o listen.o srv.o
# Requests that are passed on: beliefs of the fleet, and each request's life.
RELAY = fleet.o fleetbuilds.o fleetroutes.o fleetbrittle.o fleetgroups.o pace.o limit.o brittle.o notice.o cold.o pick.o load.o loadgossip.o \
	loadgossipwire.o sse.o relay.o relaytry.o relaystate.o relayend.o \
	relayadmit.o relaywait.o relaywork.o relayquar.o relaycrash.o reqid.o quar.o \
	quarwire.o quarfeed.o follow.o followraw.o observe.o relayobserve.o \
	sealbox.o lease.o announce.o orders.o parts.o partfeed.o buildfeed.o buildcheck.o originstore.o evac.o mirror.o \
	mirrorpick.o mirrorwire.o mirrorserve.o mirrorfeed.o speed.o spread.o \
	health.o conntime.o relayhealth.o reach.o relayreach.o relayattempt.o relayconfirm.o relayforward.o relayresume.o relayorigin.o \
	forwardseal.o vmpath.o pathwire.o relayvms.o origin.o originwire.o originfeed.o
# The users' platform; translates only.
PLATFORM = platform/replyhead.o platform/reqhead.o platform/decode.o platform/orders.o \
	platform/engine.o platform/ingress.o platform/json.o platform/kvstore.o platform/notice.o \
	platform/jsonread.o platform/platform.o platform/rowstore.o platform/roster.o platform/rows.o \
	platform/store.o
COMMANDS = main.o ctl.o ctlcall.o ctlconf.o

ARCHIVES = libserver.a libplatform.a librelay.a libserver.a libsettings.a \
	libwire.a libdecide.a

FAKES = regress/fake.o regress/fakeeng.o regress/fakeplain.o \
	regress/faketab.o regress/fakehttp.o regress/fakekv.o \
	regress/fakestore.o regress/fakerows.o regress/fakesrv.o \
	regress/fakeendless.o regress/fakecut.o regress/fakestorm.o

all: camphorquay

camphorquay: $(COMMANDS) $(sort $(ARCHIVES))
	$(CC) $(CFLAGS) -o $@ $(COMMANDS) $(ARCHIVES) $(LIBS)

libdecide.a: $(DECIDE)
libwire.a: $(WIRE)
libsettings.a: $(SETTINGS)
libserver.a: $(SERVER)
librelay.a: $(RELAY)
libplatform.a: $(PLATFORM)
$(sort $(ARCHIVES)):
	rm -f $@
	$(AR) rc $@ $^

.c.o:
	@echo "  CC $@"
	@$(CC) $(ALL_CFLAGS) -I. -c -o $@ $<

peer_xdr.o: peer_xdr.c peer.h
	@echo "  CC $@"
	@$(CC) $(ALL_CFLAGS) -Wno-unused-variable -I. -c -o $@ peer_xdr.c

regress/fake: $(FAKES) libdecide.a
	$(CC) $(CFLAGS) -o $@ $(FAKES) libdecide.a $(LIBS)

regress/drive: regress/drive.o libwire.a libdecide.a
	$(CC) $(CFLAGS) -o $@ regress/drive.o libwire.a libdecide.a $(LIBS)

# Callers of streams that are broken off and taken up again.
regress/streamcalls: regress/streamcalls.o
	$(CC) $(CFLAGS) -o $@ regress/streamcalls.o $(LIBS)

regress/check: regress/check.o
	$(CC) $(CFLAGS) -o $@ regress/check.o $(LIBS)

UNITS = regress/test-units.o regress/test-wire.o regress/test-fleet.o \
	regress/test-relay.o regress/test-orders.o regress/test-follow.o \
	regress/test-parts.o regress/test-xfer.o regress/test-share.o \
	regress/test-headers.o regress/test-fresh.o regress/test-steps.o \
	regress/test-incarnations.o regress/test-load.o regress/test-admit.o \
	regress/test-quar.o regress/test-cold.o regress/test-limit.o \
	regress/test-notice.o regress/test-regions.o regress/test-evac.o \
	regress/test-relayquar.o regress/test-mirror.o regress/test-routeshare.o \
	regress/test-relaystate.o regress/test-observe.o regress/test-returns.o \
	regress/test-speed.o regress/test-spread.o regress/test-health.o \
	regress/test-reach.o regress/test-forward.o regress/test-builds.o regress/test-vmpath.o regress/test-brittle.o regress/test-partquar.o regress/test-oddrows.o \
	regress/relayharness.o

regress/test-units: $(UNITS) libplatform.a librelay.a libserver.a libwire.a libdecide.a
	$(CC) $(CFLAGS) -o $@ $(UNITS) libplatform.a librelay.a log.o met.o loop.o xfer.o fetch.o peer_xdr.o \
		libwire.a libdecide.a $(LIBS)

MODEL = regress/model.o regress/modelworld.o regress/modelstore.o \
	regress/modellease.o regress/modelannounce.o regress/modelkeys.o \
	regress/modelrestart.o regress/modelstreams.o

# Failed endpoints in simulated time; replaces loop and log as well.
regress/failures: regress/failures.o met.o peer_xdr.o librelay.a libdecide.a
	$(CC) $(CFLAGS) -o $@ regress/failures.o librelay.a met.o peer_xdr.o libdecide.a $(LIBS)

# The deciding code in simulated time: regress/modelworld.c replaces loop and
# log.
regress/model: $(MODEL) met.o peer_xdr.o librelay.a libdecide.a
	$(CC) $(CFLAGS) -o $@ $(MODEL) librelay.a met.o peer_xdr.o libdecide.a $(LIBS)

# Admission of several routes in simulated time.
regress/burst: regress/burst.o librelay.a log.o met.o loop.o libdecide.a
	$(CC) $(CFLAGS) -o $@ regress/burst.o librelay.a log.o met.o loop.o \
		xfer.o fetch.o peer_xdr.o libwire.a libdecide.a $(LIBS)

bench/load: bench/load.o loop.o xfer.o stall.o
	$(CC) $(CFLAGS) -o $@ bench/load.o loop.o xfer.o stall.o $(LIBS)

bench/replay: bench/replay.o bench/work.o bench/world.o libdecide.a
	$(CC) $(CFLAGS) -o $@ bench/replay.o bench/work.o bench/world.o \
		libdecide.a $(LIBS) -lm

bench/rows: bench/rows.o libplatform.a librelay.a libserver.a libdecide.a
	$(CC) $(CFLAGS) -o $@ bench/rows.o libplatform.a librelay.a log.o met.o loop.o \
		xfer.o fetch.o stall.o peer_xdr.o libdecide.a $(LIBS)

bench/slopes: bench/slopes.o libsettings.a libdecide.a
	$(CC) $(CFLAGS) -o $@ bench/slopes.o libsettings.a libdecide.a $(LIBS)

tests: camphorquay regress/fake regress/drive regress/check regress/streamcalls regress/test-units \
	regress/model regress/burst regress/failures bench/load

# The same sources with the sanitizers, in a directory of their own.
SANITIZE = -O1 -g -fno-omit-frame-pointer -fsanitize=address,undefined \
	-fno-sanitize-recover=undefined
sanitized:
	mkdir -p build-asan/regress build-asan/bench build-asan/platform
	cp -p platform/*.c platform/*.h build-asan/platform
	cp -p *.c *.h *.x Makefile config.mk build-asan
	cp -p regress/*.c regress/*.h build-asan/regress
	cp -p bench/*.c build-asan/bench
	$(MAKE) -s -C build-asan CFLAGS="$(SANITIZE)" camphorquay \
		regress/test-units regress/model

# Coverage-guided inputs for all parsers; needs clang.
FUZZED = prompt.c strm.c peer_xdr.c platform/replyhead.c platform/reqhead.c \
	platform/decode.c platform/json.c platform/kvstore.c platform/notice.c platform/jsonread.c \
	platform/rows.c platform/roster.c \
	platform/rowstore.c followraw.c mirrorwire.c quar.c reqid.c sealbox.c quarwire.c originwire.c originstore.c origin.c buildfeed.c log.c met.c pathwire.c loadgossipwire.c fleet.c fleetbuilds.c fleetroutes.c fleetbrittle.c fleetgroups.c pace.c limit.c brittle.c cold.c health.c sse.c lease.c fetch.c xfer.c stall.c loop.c
regress/fuzz-input: regress/fuzz-input.c $(FUZZED) wire.h
	clang -std=gnu11 -D_GNU_SOURCE -g -O1 $(LIB_CFLAGS) -I. \
		-fsanitize=fuzzer,address,undefined -o $@ \
		regress/fuzz-input.c $(FUZZED) $(LIBS)

# Code generated from schemas is committed; this makes it again.
generate:
	awk -v mode=header -f gen-settings.awk settings.schema > settings_gen.h
	awk -v mode=source -f gen-settings.awk settings.schema > settings_gen.c
	rm -f peer.h peer_xdr.c
	rpcgen -h -N -o peer.h peer.x
	rpcgen -c -N -o peer_xdr.c peer.x
	clang-format -i settings_gen.h settings_gen.c
	{ cat man/ini.head; awk -v mode=man -f gen-settings.awk settings.schema; \
		cat man/ini.tail; } > man/camphorquay.ini.5

install: camphorquay
	mkdir -p $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/share/man/man1 \
		$(DESTDIR)$(PREFIX)/share/man/man5
	cp camphorquay $(DESTDIR)$(PREFIX)/bin
	cp man/*.1 $(DESTDIR)$(PREFIX)/share/man/man1
	cp man/*.5 $(DESTDIR)$(PREFIX)/share/man/man5

clean:
	rm -f *.o *.d *.a platform/*.o platform/*.d regress/*.o regress/*.d bench/*.o bench/*.d \
		camphorquay regress/fake regress/drive regress/check regress/streamcalls regress/test-units \
		regress/model regress/burst regress/failures bench/load bench/rows bench/slopes regress/fuzz-input
	rm -rf build-asan


.PHONY: all install tests sanitized generate clean
.SUFFIXES: .c .o
-include $(wildcard *.d platform/*.d regress/*.d bench/*.d)
