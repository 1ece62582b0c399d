import type { SettingsError } from "./SettingsError";

/** Describes errors for operators, one a line. */
export function describeErrors(errors: readonly SettingsError[]): string {
  return errors.map(({ message }) => message).join("\n");
}
