// Enables roarr; must be imported before it. Roarr logs only if this variable is set when it is loaded. It also
// opens standard output for its default writer, which is replaced anyway and takes a tenth of the startup time of
// a process. It skips this if a newer version has already registered itself, as simulated here.
process.env.ROARR_LOG = 'true'
Object.assign(globalThis, { ROARR: { versions: ['999.0.0'], write: () => {} } })
