// Size, time and connection limits of the calls between entry hosts.

/** A request has at most 8 member entries, 32 fingerprints and 32 load reports, which take less than 4 KiB. */
export const maximumRequestBytes = 8_192
/** A bundle of 14,000 servers takes about 2 MB of JSON. */
export const maximumResponseBytes = 16_777_216
/** Concurrent sessions that a server accepts. Each of a few hundred peers keeps one. */
export const maximumServerSessions = 1_024
export const maximumStreamsPerSession = 16
/** Idle timeout of sessions at the server. */
export const serverSessionIdleMilliseconds = 300_000
/** Timeout from the start of a request to the end of its response. */
export const serverCallTimeoutMilliseconds = 10_000
/** Minimum timeout of calls for a bundle or a dump. It allows two attempts within the 5 s in which a bundle must become active. */
export const bulkCallTimeoutMilliseconds = 2_000
/** Idle timeout of sessions and cached clients at the client. */
export const clientSessionIdleMilliseconds = 120_000
export const maximumCachedClients = 256
