import t from "tap";
import { RetryingSink } from "@clementinemux/logging/RetryingSink";
import { BoundedLogWriter } from "@clementinemux/logging/BoundedLogWriter";
import { LogLossCause } from "@clementinemux/logging/LogLossCause";
import { Counters } from "@clementinemux/metrics/Counters";

const error = new Error("EIO");

function createLog(fail: (onDone: (error: Error | null) => void) => void) {
  const state = { nowMs: 0, attemptCount: 0, isBroken: true, lines: [] as string[] };
  const clock = { monotonicMs: () => state.nowMs, wallMs: () => state.nowMs };
  const target = {
    pendingBytes: 0,
    write: (text: string, onDone: (error: Error | null) => void) => {
      state.attemptCount += 1;
      if (state.isBroken) {
        fail(onDone);
      } else {
        state.lines.push(text);
        onDone(null);
      }
    },
  };
  const losses = new Counters("losses", "cause", Object.values(LogLossCause));
  const writer = new BoundedLogWriter(new RetryingSink(target, clock), clock, losses);
  const log = (event: string): void => {
    const message = { context: { logLevel: 30 }, message: event, sequence: "1", time: 1, version: "2" };
    writer.write(writer.serialize(message));
  };
  return { state, losses, log };
}

const failures: Readonly<Record<string, (onDone: (error: Error | null) => void) => void>> = {
  "is thrown": () => {
    throw error;
  },
  "is reported": (onDone) => {
    onDone(error);
  },
};

for (const [name, fail] of Object.entries(failures)) {
  // Guards against a failing log that costs processor time, and against lines that are lost without a report.
  t.test(`an error that ${name} is retried once a second and its lines are counted`, (t) => {
    const { state, losses, log } = createLog(fail);
    for (state.nowMs = 0; state.nowMs < 10_000; state.nowMs += 1) {
      log("request ended");
    }
    t.ok(state.attemptCount <= 10, `${state.attemptCount} attempts in 10 s`);
    t.equal(losses.get(LogLossCause.Unwritable), 10_000);
    state.isBroken = false;
    state.nowMs += 1000;
    log("role changed");
    t.match(JSON.parse(state.lines[0] ?? "{}"), { context: { omitted: { "request ended": 10_000 } } });
    t.match(state.lines[1], "role changed");
    t.equal(state.lines.length, 2);
    t.end();
  });
}
