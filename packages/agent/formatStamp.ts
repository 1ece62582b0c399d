import type { Stamp } from "./Stamp";

/** Writes a stamp as a header value. */
export function formatStamp(stamp: Stamp): string {
  return `${stamp.incarnation}/${Math.floor(stamp.issuedAtMs)}`;
}
