/** Unit of the remaining work in reports, `remainingCs`, in ms. */
export const msPerReportedWork = 10;
