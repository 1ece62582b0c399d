/**
 * Fencing tokens per term. A rank that does not respond uses up 14 per second, so they last for two years.
 */
const tokensPerTerm = 2 ** 30;
/**
 * Tokens for one activation by another process: at most two orders per rank and round, in at most six rounds.
 */
const reservedTokens = 16;

/**
 * Fencing tokens of the orders that one leader sends to all its groups. A rank rejects an order whose token
 * is lower than the highest one it has accepted, even if the order reaches it late. The tokens of a later
 * term are higher.
 */
export class FencingTokens {
  #floor: number;
  #highest: number;

  /** `floor` is the lowest token that may be used. */
  constructor(floor: number) {
    this.#floor = floor;
    this.#highest = floor;
  }

  static ofTerm(term: number): FencingTokens {
    return new FencingTokens(term * tokensPerTerm);
  }

  /**
   * Term of a token. Coordinators of earlier releases use the term itself as the token of all their orders.
   */
  static getTerm(token: number): number {
    return token < tokensPerTerm ? token : Math.floor(token / tokensPerTerm);
  }

  /** Lowest token that an order may have from now on. */
  get floor(): number {
    return this.#floor;
  }

  /** Allocates the next token for a rank whose last order had `token`. */
  allocateAfter(token: number): number {
    const next = token + 1;
    this.#highest = Math.max(this.#highest, next);
    return next;
  }

  /** Makes the tokens of all later orders of this leader higher than any token used before. */
  raiseFloor(): void {
    this.#highest += 1;
    this.#floor = this.#highest;
  }

  /**
   * Reserves tokens for another process and returns the lowest of them. All later orders of this leader have
   * higher tokens, so it does not need to know whether that process is still sending orders.
   */
  reserve(): number {
    const lowest = this.#highest + 1;
    this.#highest += reservedTokens;
    this.raiseFloor();
    return lowest;
  }
}
