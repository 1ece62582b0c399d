import { CliError } from "./CliError";
import { ExitCode } from "./ExitCode";

/**
 * Returns a copy with one existing field replaced. Throws a CliError that lists the valid fields if it is
 * unknown.
 */
export function setValue(target: unknown, path: readonly string[], value: unknown): unknown {
  const [key, ...rest] = path;
  if (key === undefined) {
    return value;
  }
  if (typeof target !== "object" || target === null || Array.isArray(target)) {
    throw new CliError(ExitCode.Usage, `the parent of "${key}" is not an object`);
  }
  const fields = target as Record<string, unknown>;
  if (!(key in fields)) {
    throw new CliError(
      ExitCode.Usage,
      `unknown field "${key}"; known: ${Object.keys(fields).sort().join(", ")}`,
    );
  }
  return { ...fields, [key]: setValue(fields[key], rest, value) };
}
