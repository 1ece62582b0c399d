import type { ExitCode } from "./ExitCode";

/** Error that ends a command with an exit code. */
export class CliError extends Error {
  readonly exitCode: ExitCode;

  constructor(exitCode: ExitCode, message: string) {
    super(message);
    this.name = "CliError";
    this.exitCode = exitCode;
  }
}
