// js-csp 1.0.1 publishes no types. The typed functions are in channels.ts.
declare module 'js-csp' {
  const library: any
  export default library
}
