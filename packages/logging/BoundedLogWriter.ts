import type { Message } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import { LogBudget } from "./LogBudget";
import type { LogSink } from "./LogSink";

const infoLevel = 30;
const warningLevel = 40;

/** Writes log messages as JSON lines within a byte budget, and later reports how many lines were dropped. */
export class BoundedLogWriter {
  readonly #sink: LogSink;
  readonly #clock: Clock;
  readonly #budget = new LogBudget();

  constructor(sink: LogSink, clock: Clock) {
    this.#sink = sink;
    this.#clock = clock;
  }

  /** Serializes a message. Returns an empty text when it is dropped, without the cost of serialization. */
  readonly serialize = (message: Message): string => {
    const { logLevel } = message.context;
    const line = { level: typeof logLevel === "number" ? logLevel : infoLevel, event: message.message };
    const nowMs = this.#clock.monotonicMs();
    if (!this.#budget.admit(line, this.#sink.pendingBytes, nowMs)) {
      return "";
    }
    const text = JSON.stringify(message);
    this.#budget.charge(line, text.length, nowMs);
    return text;
  };

  readonly write = (text: string): void => {
    if (text === "") {
      return;
    }
    const omitted = this.#budget.takeOmitted(this.#clock.monotonicMs());
    if (omitted !== null) {
      const context = { logLevel: warningLevel, omitted };
      const report = { context, message: "log lines left out", time: this.#clock.wallMs() };
      this.#sink.write(`${JSON.stringify(report)}\n`);
    }
    this.#sink.write(`${text}\n`);
  };
}
