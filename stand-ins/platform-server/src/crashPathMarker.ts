// Marks requests that crash the servers that run them.

/** A request whose path contains this text ends the process of the server that begins it. */
export const crashPathMarker = 'crash-the-server'
/** With this text, the process ends some time after it has begun the request, also if the connection is closed by then. */
export const lateCrashPathMarker = `${crashPathMarker}-late`
