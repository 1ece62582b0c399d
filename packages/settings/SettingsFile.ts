import { setTimeout as delay } from "node:timers/promises";
import { Left } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import type * as z from "zod";
import { SettingsPatience } from "./SettingsPatience";
import type { SettingsError } from "./SettingsError";
import { describeErrors } from "./describeErrors";
import { parseSettings } from "./parseSettings";
import { readSettingsText } from "./readSettingsText";

type SettingsResult<Settings> = Either<readonly SettingsError[], Settings>;

/** A settings file, which another process may be writing while it is read. */
export class SettingsFile<Schema extends z.ZodType> {
  readonly #file: string;
  readonly #schema: Schema;
  /** Text of the last read, or why the file could not be read. */
  #text = "";

  constructor(file: string, schema: Schema) {
    this.#file = file;
    this.#schema = schema;
  }

  /** Reads and validates the file as it is now. */
  read(): SettingsResult<z.output<Schema>> {
    return readSettingsText(this.#file).caseOf<SettingsResult<z.output<Schema>>>({
      Left: (errors) => {
        this.#text = describeErrors(errors);
        return Left(errors);
      },
      Right: (text) => {
        this.#text = text;
        return parseSettings(this.#file, text, this.#schema);
      },
    });
  }

  /**
   * Reads the file again until it is valid, or has stayed invalid and unchanged for so long that it is not being written.
   * Calls `onInvalid` with faults that are new.
   */
  async readUntilValid(onInvalid: (faults: string) => void): Promise<SettingsResult<z.output<Schema>>> {
    const patience = new SettingsPatience();
    for (;;) {
      const result = this.read();
      const faults = result.caseOf({ Left: describeErrors, Right: () => null });
      if (faults === null || !patience.shouldReread(this.#text)) {
        return result;
      }
      if (patience.shouldReport(faults)) {
        onInvalid(faults);
      }
      await delay(patience.rereadIntervalMs);
    }
  }
}
