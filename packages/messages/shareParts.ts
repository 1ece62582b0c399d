/** Unit of shares in messages: a fifty-thousandth of a limit, so that a share takes 3 bytes. */
export const shareParts = 50_000;
