/**
 * Properties that selectors of exceptions are matched against. A selector that sets an empty field doesn't
 * match.
 */
export interface TeamSubject {
  readonly team: string;
  readonly model: string;
  readonly service: string;
  readonly region: string;
}
