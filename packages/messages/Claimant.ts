/** Process that made a claim: only it may dispatch the request or cancel the claim. */
export interface Claimant {
  readonly entry: string;
  readonly incarnation: string;
}
