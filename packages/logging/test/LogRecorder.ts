import type { Logger, MessageContext } from "roarr";

interface RecordedLine {
  readonly level: "debug" | "info" | "warn" | "error";
  readonly event: string;
  readonly context: MessageContext;
}

/** Logger that keeps its lines, for tests that inspect them. */
export class LogRecorder {
  readonly #lines: RecordedLine[] = [];

  get logger(): Logger {
    const methods = Object.fromEntries(
      (["debug", "info", "warn", "error"] as const).map((level) => [
        level,
        (context: MessageContext, event: string) => this.#lines.push({ level, event, context }),
      ]),
    );
    return methods as unknown as Logger;
  }

  find(event: string): RecordedLine[] {
    return this.#lines.filter((line) => line.event === event);
  }
}
