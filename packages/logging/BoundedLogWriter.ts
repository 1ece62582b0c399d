import type { Message } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import type { Counters } from "@clementinemux/metrics/Counters";
import { LogBudget } from "./LogBudget";
import { LogLossCause } from "./LogLossCause";
import type { LogSink } from "./LogSink";

const infoLevel = 30;
const warningLevel = 40;

/** Writes log messages as JSON lines within a byte budget, and later reports how many lines were lost. */
export class BoundedLogWriter {
  readonly #sink: LogSink;
  readonly #clock: Clock;
  readonly #losses: Counters<LogLossCause>;
  readonly #budget = new LogBudget();
  /** Event of the message that was serialized last, which is written next. */
  #event = "";

  constructor(sink: LogSink, clock: Clock, losses: Counters<LogLossCause>) {
    this.#sink = sink;
    this.#clock = clock;
    this.#losses = losses;
  }

  /** Serializes a message. Returns an empty text when it is dropped, without the cost of serialization. */
  readonly serialize = (message: Message): string => {
    const { logLevel } = message.context;
    const line = { level: typeof logLevel === "number" ? logLevel : infoLevel, event: message.message };
    if (this.#sink.isFailing) {
      this.#lose(LogLossCause.Unwritable, line.event);
      return "";
    }
    const nowMs = this.#clock.monotonicMs();
    const cause = this.#budget.admit(line, this.#sink.pendingBytes, nowMs);
    if (cause !== null) {
      this.#lose(cause, line.event);
      return "";
    }
    const text = JSON.stringify(message);
    this.#budget.charge(line, text.length, nowMs);
    this.#event = line.event;
    return text;
  };

  readonly write = (text: string): void => {
    if (text === "") {
      return;
    }
    const event = this.#event;
    this.#reportOmitted();
    this.#sink.write(`${text}\n`, () => {
      this.#lose(LogLossCause.Unwritable, event);
    });
  };

  #reportOmitted(): void {
    const omitted = this.#budget.takeOmitted(this.#clock.monotonicMs());
    if (omitted === null) {
      return;
    }
    const context = { logLevel: warningLevel, omitted };
    const report = { context, message: "log lines left out", time: this.#clock.wallMs() };
    this.#sink.write(`${JSON.stringify(report)}\n`, () => {
      this.#budget.addOmitted(omitted);
    });
  }

  #lose(cause: LogLossCause, event: string): void {
    this.#losses.add(cause);
    this.#budget.addOmitted({ [event]: 1 });
  }
}
