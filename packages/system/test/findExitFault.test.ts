import t from "tap";
import { findExitFault } from "../findExitFault";

const exit = { code: null, signal: null, isKilled: false, stoppingMs: null, hasLogged: true };

t.test("exits that a signal asks for are no faults", (t) => {
  t.equal(findExitFault({ ...exit, signal: "SIGKILL", isKilled: true }), null);
  t.equal(findExitFault({ ...exit, code: 0, stoppingMs: 8000 }), null);
  t.equal(findExitFault({ ...exit, signal: "SIGTERM", stoppingMs: 5, hasLogged: false }), null);
  t.end();
});

// Guards against a process that is excused for every end once it was signalled.
t.test("exits that no signal asks for are found, also after a signal", (t) => {
  t.equal(findExitFault({ ...exit, code: 1 }), "code 1");
  t.equal(findExitFault({ ...exit, code: 0 }), "code 0");
  t.equal(findExitFault({ ...exit, signal: "SIGHUP" }), "SIGHUP");
  t.equal(findExitFault({ ...exit, signal: "SIGKILL" }), "SIGKILL");
  t.equal(findExitFault({ ...exit, code: 1, isKilled: true }), "code 1");
  t.equal(findExitFault({ ...exit, code: 74, stoppingMs: 100 }), "code 74");
  t.equal(findExitFault({ ...exit, signal: "SIGTERM", stoppingMs: 5 }), "SIGTERM");
  t.equal(findExitFault({ ...exit, code: 0, stoppingMs: 9001 }), "code 0, 9001 ms after the signal to stop");
  t.ok(findExitFault({ ...exit, signal: "SIGKILL", isKilled: true, stoppingMs: 12_000 }));
  t.end();
});
