import type { IncomingMessage } from "node:http";
import { findHeaderFault } from "./findHeaderFault";

/** Node's client throws for any character of a path outside this range; its server accepts tabs and form feeds. */
const unwritablePath = /[^\x21-\xff]/;

/** Returns why a request that was read cannot be passed on, or null if it can. */
export function findRequestFault({ url = "/", rawHeaders }: IncomingMessage): string | null {
  return unwritablePath.test(url) ? "Invalid character in the path" : findHeaderFault(rawHeaders);
}
