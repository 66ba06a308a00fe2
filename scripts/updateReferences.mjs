// Generates the tsconfig.json of every package from the workspace dependencies in its package.json, so that
// both stay consistent. With --check it only compares them and fails on a difference.
import { existsSync, readFileSync, readdirSync, writeFileSync } from 'node:fs'
import { join, relative } from 'node:path'

const readJson = path => JSON.parse(readFileSync(path, 'utf8'))

const rootDirectory = new URL('..', import.meta.url).pathname
const directories = readJson(join(rootDirectory, 'package.json')).workspaces
  .map(pattern => pattern.replace('/*', ''))
  .flatMap(domain => readdirSync(join(rootDirectory, domain)).map(name => join(domain, name)))
  .filter(directory => existsSync(join(rootDirectory, directory, 'package.json')))
  .sort()
const manifests = new Map(directories.map(directory => [directory, readJson(join(rootDirectory, directory, 'package.json'))]))
const directoryOfName = new Map([...manifests].map(([directory, manifest]) => [manifest.name, directory]))

const referencesOf = (directory, manifest) =>
  Object.keys({ ...manifest.dependencies, ...manifest.devDependencies })
    .filter(name => directoryOfName.has(name))
    .map(name => ({ path: relative(directory, directoryOfName.get(name)) }))

const packageConfigurations = [...manifests].map(([directory, manifest]) => ({
  path: join(directory, 'tsconfig.json'),
  content: {
    extends: '../../tsconfig.base.json',
    compilerOptions: { rootDir: '.', outDir: 'lib', tsBuildInfoFile: 'lib/tsconfig.tsbuildinfo' },
    include: ['src', 'test'],
    references: referencesOf(directory, manifest)
  }
}))
const rootConfiguration = {
  path: 'tsconfig.json',
  content: { files: [], references: directories.map(directory => ({ path: directory })) }
}

const differing = [...packageConfigurations, rootConfiguration]
  .map(({ path, content }) => ({ path: join(rootDirectory, path), text: JSON.stringify(content, null, 2) + '\n' }))
  .filter(({ path, text }) => !existsSync(path) || readFileSync(path, 'utf8') !== text)

if (process.argv.includes('--check')) {
  differing.forEach(({ path }) => console.error(`${relative(rootDirectory, path)} differs from package.json: run "npm run references"`))
  process.exitCode = differing.length === 0 ? 0 : 1
} else {
  differing.forEach(({ path, text }) => writeFileSync(path, text))
  console.log(`${differing.length} tsconfig.json files written`)
}
