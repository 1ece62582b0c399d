import { CliError } from "./CliError";
import { ExitCode } from "./ExitCode";

/** Reads the value of `--timeout-ms`. Throws a CliError unless it is a positive number. */
export function parseTimeoutMs(text: string): number {
  const timeoutMs = Number(text);
  if (!(timeoutMs > 0)) {
    throw new CliError(ExitCode.Usage, `--timeout-ms: "${text}" is not a positive number of milliseconds`);
  }
  return timeoutMs;
}
