import { readFileSync } from "node:fs";
import { Left, Right } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import { SettingsError } from "./SettingsError";

/** Reads a settings file. */
export function readSettingsText(file: string): Either<readonly SettingsError[], string> {
  try {
    return Right(readFileSync(file, "utf8"));
  } catch (cause) {
    return Left([new SettingsError(file, 0, "", `cannot be read: ${String(cause)}`)]);
  }
}
