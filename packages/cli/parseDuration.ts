import { CliError } from "./CliError";
import { ExitCode } from "./ExitCode";

const msPerUnit: Readonly<Record<string, number>> = { s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000 };

/** Parses a duration such as `90s`, `30m`, `2h` or `7d` into milliseconds. Throws a CliError. */
export function parseDuration(text: string): number {
  const [, amount, unit] = /^(\d{1,9})([smhd])$/.exec(text) ?? [];
  const factor = msPerUnit[unit ?? ""];
  if (amount === undefined || factor === undefined) {
    throw new CliError(ExitCode.Usage, `"${text}" is not a duration; examples: 90s, 30m, 2h, 7d`);
  }
  return Number(amount) * factor;
}
