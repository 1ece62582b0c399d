import { readFileSync } from "node:fs";
import { Left } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import type * as z from "zod";
import { SettingsError } from "./SettingsError";
import { parseSettings } from "./parseSettings";

/** Reads and validates a settings file. */
export function loadSettings<Schema extends z.ZodType>(
  file: string,
  schema: Schema,
): Either<readonly SettingsError[], z.output<Schema>> {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (cause) {
    return Left([new SettingsError(file, 0, "", `cannot be read: ${String(cause)}`)]);
  }
  return parseSettings(file, text, schema);
}
