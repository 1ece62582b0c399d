/** What an exception's selector is matched against. Empty fields match no selector that names them. */
export interface TeamSubject {
  readonly team: string;
  readonly model: string;
  readonly service: string;
  readonly region: string;
}
