import { EventEmitter } from "node:events";
import { setImmediate as nextTurn } from "node:timers/promises";
import fc from "fast-check";
import t from "tap";
import { createLogger } from "@clementinemux/logging/createLogger";
import { ProcessSignals } from "@clementinemux/lifecycle/ProcessSignals";

class TestSource extends EventEmitter {
  readonly exits: number[] = [];

  exit(code: number): void {
    this.exits.push(code);
  }
}

const logger = createLogger("test", {});
const names = ["SIGTERM", "SIGINT", "SIGHUP", "SIGQUIT", "SIGUSR2", "SIGALRM"] as const;
const isStop = (name: string): boolean => name === "SIGTERM" || name === "SIGINT";

// Guards against a signal that ends a process before its stop is complete, and against one that is lost.
t.test("in any series of signals, the first stop decides", async () => {
  const series = fc.array(fc.constantFrom(...names), { maxLength: 8 });
  await fc.assert(
    fc.asyncProperty(series, series, async (early, late) => {
      const source = new TestSource();
      const signals = new ProcessSignals(source);
      let stops = 0;
      let finish: (code: number) => void = () => undefined;
      early.forEach((name) => source.emit(name, name));
      const stop = (): Promise<number> => {
        stops += 1;
        return new Promise((resolve) => {
          finish = resolve;
        });
      };
      signals.setHandler({ logger, stop });
      late.forEach((name) => source.emit(name, name));
      await nextTurn();
      const isStopped = [...early, ...late].some(isStop);
      const before = [...source.exits];
      finish(0);
      await nextTurn();
      return stops === Number(isStopped) && before.length === 0 && source.exits.length === stops;
    }),
  );
});

t.test("a stop that fails ends the process with an error code", async (t) => {
  const source = new TestSource();
  new ProcessSignals(source).setHandler({ logger, stop: () => Promise.reject(new Error("broken")) });
  source.emit("SIGTERM", "SIGTERM");
  await nextTurn();
  t.same(source.exits, [1]);
});
