// Marks requests that crash the servers that run them.

/** A request whose path contains this text ends the process of the server that begins it. */
export const crashPathMarker = 'crash-the-server'
