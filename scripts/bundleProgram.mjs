// Bundles the daemon of the users' platform into one file, so that a start reads and parses one file and
// only the modules that it uses.
import { build } from 'esbuild'

const rootDirectory = new URL('..', import.meta.url).pathname

await build({
  absWorkingDir: rootDirectory,
  entryPoints: ['daemon/platform-host/lib/src/runPlatformHost.js'],
  outfile: 'target/siskinbeam.js',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  logLevel: 'warning',
  // Some libraries are CommonJS and load modules of Node with require.
  banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" }
})
