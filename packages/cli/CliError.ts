import type { ExitCode } from "./ExitCode";

/** Failure of a command, with the exit code that it ends with. */
export class CliError extends Error {
  readonly exitCode: ExitCode;

  constructor(exitCode: ExitCode, message: string) {
    super(message);
    this.name = "CliError";
    this.exitCode = exitCode;
  }
}
