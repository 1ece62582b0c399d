import { readFileSync } from "node:fs";
import { parse, printParseErrorCode } from "jsonc-parser";
import type { ParseError } from "jsonc-parser";
import type { FleetDefaults } from "@clementinemux/fleet/FleetDefaults";
import { CliError } from "./CliError";
import { ExitCode } from "./ExitCode";

/**
 * Reads a file of defaults, JSON with comments. Throws a CliError with the line of a syntax error; control
 * validates fields.
 */
export function readDefaultsFile(file: string): FleetDefaults {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    throw new CliError(ExitCode.Usage, `cannot read ${file}: ${String(error)}`);
  }
  const errors: ParseError[] = [];
  const value = parse(text, errors, { allowTrailingComma: true }) as FleetDefaults;
  const [first] = errors;
  if (first !== undefined) {
    const line = text.slice(0, first.offset).split("\n").length;
    throw new CliError(ExitCode.Usage, `${file}:${line}: ${printParseErrorCode(first.error)}`);
  }
  return value;
}
