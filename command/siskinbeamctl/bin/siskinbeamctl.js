#!/usr/bin/env node
// npm links binaries at installation, before the build creates lib, so the link target has to be a checked-in file.
import '../lib/src/runSiskinbeamctl.js'
