// Starts the bundled daemon with the V8 code cache, so that code compiled during the run at build time is not
// compiled again. V8 rejects a cache that was created by another version or with other flags.

// A signal without a listener would end the process while the bundle is read. Node.js reports signals only after the bundle has run,
// which has installed its own listeners by then.
;['SIGTERM', 'SIGINT', 'SIGHUP', 'SIGUSR1', 'SIGUSR2'].forEach(signal => process.on(signal, () => {}))

const { readFileSync } = require('node:fs')
const { join } = require('node:path')
const { Script } = require('node:vm')

const filename = join(__dirname, 'siskinbeam.bundle.cjs')
const cacheFile = join(__dirname, 'siskinbeam.cache')
const warmUpMilliseconds = 1_000

const readCache = () => {
  try {
    return readFileSync(cacheFile)
  } catch {
    return undefined
  }
}

const isBuild = process.env.SISKINBEAM_WRITE_CODE_CACHE === 'true'
const cachedData = isBuild ? undefined : readCache()
const script = new Script(`(function (require, module, exports) {${readFileSync(filename, 'utf8')}\n})`, { filename, cachedData })
script.runInThisContext()(require, module, exports)

if (isBuild) {
  setTimeout(() => {
    require('node:fs').writeFileSync(cacheFile, script.createCachedData())
    process.exit(0)
  }, warmUpMilliseconds)
}
