// Limits of the calls between entry hosts.

/** A request holds at most 8 entries, 32 fingerprints and 32 load reports, which is below 4 KiB. */
export const maximumRequestBytes = 8_192
/** A bundle of 14,000 servers is about 2 MB of JSON. */
export const maximumAnswerBytes = 16_777_216
/** Sessions accepted at once; each of a few hundred peers keeps one. */
export const maximumServedSessions = 1_024
export const maximumStreamsPerSession = 16
/** A session without a call for so long is closed by the server. */
export const servedSessionIdleMilliseconds = 300_000
/** The time for a request to arrive and be answered. */
export const servedCallMilliseconds = 10_000
/** The time for a bundle or a dump. Two bundles can be tried within the 5 s in which one must be active. */
export const bulkCallMilliseconds = 2_000
/** A session without a call for so long is closed by the client. */
export const clientIdleMilliseconds = 120_000
export const maximumCachedClients = 256
