// Starts the bundled daemon with V8's code cache, so that a start compiles nothing that the start at the
// build compiled before. A cache of another version of V8 or other flags is passed over.
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
