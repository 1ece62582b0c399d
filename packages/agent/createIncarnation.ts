import { randomBytes } from "node:crypto";

const timeDigits = 14;

/** Creates the name of this start of an agent; sorts after every earlier one, as text. */
export function createIncarnation(wallMs: number): string {
  return `${String(wallMs).padStart(timeDigits, "0")}-${randomBytes(4).toString("hex")}`;
}
