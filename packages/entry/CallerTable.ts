import { createHash, timingSafeEqual } from "node:crypto";

interface Caller {
  readonly team: string;
  readonly token: string;
}

/** Finds the team of a bearer token. */
export class CallerTable {
  readonly #callers: readonly { readonly team: string; readonly digest: Buffer }[];

  constructor(callers: readonly Caller[]) {
    this.#callers = callers.map(({ team, token }) => ({ team, digest: getDigest(token) }));
  }

  /**
   * Compares with every token in constant time. A comparison that stops at the first difference would let a
   * caller guess a token byte by byte.
   */
  findTeam(authorization: string | undefined): string | null {
    const token = /^Bearer +(\S+)$/i.exec(authorization ?? "")?.[1];
    if (token === undefined) {
      return null;
    }
    const digest = getDigest(token);
    let found: string | null = null;
    for (const caller of this.#callers) {
      if (timingSafeEqual(caller.digest, digest)) {
        found = caller.team;
      }
    }
    return found;
  }
}

function getDigest(token: string): Buffer {
  return createHash("sha256").update(token).digest();
}
