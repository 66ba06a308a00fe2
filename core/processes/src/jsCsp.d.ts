// js-csp 1.0.1 has no type declarations. The typed wrappers are in channels.ts.
declare module 'js-csp' {
  const library: any
  export default library
}
