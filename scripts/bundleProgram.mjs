// Bundles the daemon of the users' platform into one file, so that a start reads and parses one file and
// only the modules that it uses, and runs it for a moment to write V8's code cache.
import { spawnSync } from 'node:child_process'
import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { build } from 'esbuild'

const rootDirectory = new URL('..', import.meta.url).pathname

await build({
  absWorkingDir: rootDirectory,
  entryPoints: ['daemon/platform-host/lib/src/runPlatformHost.js'],
  outfile: 'target/siskinbeam.bundle.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  // An ES module evaluates all exports of Node's own modules that it imports, which costs 25 ms of processor time at each start.
  format: 'cjs',
  minifySyntax: true,
  logLevel: 'warning'
})
copyFileSync(join(rootDirectory, 'scripts/startBundle.cjs'), join(rootDirectory, 'target/siskinbeam.cjs'))

const directory = mkdtempSync(join(tmpdir(), 'siskinbeam-'))
const settingsFile = join(directory, 'settings.env')
const addresses = ['GUEST', 'READINESS', 'PEER', 'ADDRESS_LIST', 'METRICS'].map(name => `SISKINBEAM_${name}_ADDRESS=127.0.0.1:0`)
writeFileSync(settingsFile, ['SISKINBEAM_HOST=build', 'SISKINBEAM_DATA_CENTRE=build', 'SISKINBEAM_STORE_ADDRESS=127.0.0.1:9', ...addresses, ''].join('\n'))
const { status } = spawnSync(process.execPath, ['target/siskinbeam.cjs'], {
  cwd: rootDirectory, stdio: ['ignore', 'ignore', 'inherit'], env: { SISKINBEAM_CONFIG: settingsFile, SISKINBEAM_WRITE_CODE_CACHE: 'true' }
})
rmSync(directory, { recursive: true })
process.exitCode = status ?? 1
