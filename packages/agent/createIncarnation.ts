import { randomBytes } from "node:crypto";

const timeDigits = 14;

/** Creates the incarnation of an agent process. As text, it sorts after all earlier incarnations. */
export function createIncarnation(wallMs: number): string {
  return `${String(wallMs).padStart(timeDigits, "0")}-${randomBytes(4).toString("hex")}`;
}
