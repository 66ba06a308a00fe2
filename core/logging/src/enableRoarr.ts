// Roarr decides while it is loaded whether it logs at all, and only if this variable is set.
// The module is imported before roarr.
process.env.ROARR_LOG = 'true'
