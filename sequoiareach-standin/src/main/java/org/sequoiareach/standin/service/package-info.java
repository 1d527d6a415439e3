/** Simulates an HTTP service that executes every call it receives. */
package org.sequoiareach.standin.service;
